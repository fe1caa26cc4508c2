package main

import (
	_ "embed" // the names of the users' protocol
	"encoding/json"
)

// protocolNames holds the names of the users' protocol that the stand-ins speak. They are kept in
// a file of their own because only the package platform names them in its code.
//
//go:embed protocol.json
var protocolNames []byte

// protocol holds headers, paths, the variable of the settings file and the format of an engine's
// entry.
var protocol = decodeProtocol()

type names struct {
	Request, Seal, NotRun, Expected, Instance, Deadline string
	Health, Ready, Settings, Entry                      string
}

func decodeProtocol() *names {
	decoded := &names{}
	if err := json.Unmarshal(protocolNames, decoded); err != nil {
		panic(err) // the file is part of the program
	}
	return decoded
}
