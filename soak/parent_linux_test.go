package soak_test

import (
	"os/exec"
	"syscall"
)

// killWithParent makes the kernel kill the process when the test process ends without stopping it, for example after an
// interrupt.
func killWithParent(command *exec.Cmd) {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
