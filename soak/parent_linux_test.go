package soak_test

import (
	"os/exec"
	"syscall"
)

// endWithParent has the system kill a process when the soak ends without stopping it, as after an interrupt.
func endWithParent(command *exec.Cmd) {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
