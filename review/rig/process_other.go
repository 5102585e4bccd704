//go:build !linux

package rig

import "syscall"

func childAttributes() *syscall.SysProcAttr { return nil }
