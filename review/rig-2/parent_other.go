//go:build !linux

package main

import "syscall"

// parentDeathSignal has no effect on this system.
func parentDeathSignal() *syscall.SysProcAttr { return nil }
