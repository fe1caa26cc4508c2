package resume

// Message returns an origin as peers get it.
var Message = message
