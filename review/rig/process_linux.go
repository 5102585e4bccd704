package rig

import "syscall"

// childAttributes makes the kernel end a process together with the run that started it.
func childAttributes() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }
