// Package simwire implements the wire format of the operators' simulator, and the settings object that the simulator
// and the platform share. It maps their names to the types of package balancer, and makes no decisions.
//
// The simulator writes batches of lines and waits for a reply to each batch. A line is the name of a message and its
// values, separated by tabs. A Decoder reads batches (decoder.go), an Encoder writes replies (encoder.go),
// ParseSettings reads the settings object (settings.go), and WithObjectKey adds the object's keys to errors about its
// values (settingskeys.go).
package simwire
