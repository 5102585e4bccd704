// Package rig runs the programs of a small deployment as separate processes on loopback, with stand-ins for the platform,
// the operator, the workers and the clients. The cases of the review use it. It judges only what stand-ins see on their
// sockets, and ends every process that it started.
package rig
