package main

import (
	_ "embed" // the names of the users' protocol
	"encoding/json"
)

// protocolNames holds the names of the users' protocol that the stand-ins speak. They stand in a
// file of their own because only the package platform names them in its code.
//
//go:embed protocol.json
var protocolNames []byte

// protocol has one field for each of these names: headers, paths and a field of an engine's entry.
var protocol = decodeProtocol()

type names struct {
	Request, Seal, Expected, Instance, Deadline, Key, Model, Usage, Prompt string
	Report, Ready                                                          string
	ColdLeft                                                               string
}

func decodeProtocol() *names {
	decoded := &names{}
	if err := json.Unmarshal(protocolNames, decoded); err != nil {
		panic(err) // the file is part of the program
	}
	return decoded
}
