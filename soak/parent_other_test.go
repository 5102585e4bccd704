//go:build !linux

package soak_test

import "os/exec"

// killWithParent does nothing on systems without a parent-death signal.
func killWithParent(*exec.Cmd) {}
