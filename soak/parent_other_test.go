//go:build !linux

package soak_test

import "os/exec"

// endWithParent does nothing where the system has no such signal.
func endWithParent(*exec.Cmd) {}
