// Package wire holds the messages and services of the protocols between the processes of guavahitch. All code but this
// file is generated from the .proto files in this folder by `make generate`.
package wire
