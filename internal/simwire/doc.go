// Package simwire is the wire of the operators' simulator, and the settings object that the simulator and the platform
// share. It maps their names to the types of package balancer, and makes no decisions.
//
// The simulator writes batches of lines and waits for a reply to each batch. A line is the name of a message and its
// values, separated by tabs. A Decoder reads batches (decoder.go), an Encoder writes replies (encoder.go), ParseSettings
// reads the settings object (settings.go), and WithObjectKey makes the errors of its values name its keys (settingskeys.go).
package simwire
