package main

import "syscall"

// parentDeathSignal makes the system end a process when the process that started it has ended.
func parentDeathSignal() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
