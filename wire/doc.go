// Package wire holds the messages and services between the processes of guavahitch.
// Everything but this file is generated from the .proto files beside it by `make generate`.
package wire
