package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is record.txt: what was sent, answered and run, with the seconds since the
// start of the script.
var record struct {
	sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

var began = time.Now()

func openRecord(path string) {
	file, err := os.Create(path)
	if err != nil {
		unable("%v", err)
	}
	record.file, record.writer = file, bufio.NewWriter(file)
}

func note(format string, args ...any) {
	record.Lock()
	defer record.Unlock()
	if record.writer != nil {
		fmt.Fprintf(record.writer, "%9.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
}

func closeRecord() {
	record.Lock()
	defer record.Unlock()
	if record.writer != nil {
		_ = record.writer.Flush()
		_ = record.file.Close()
		record.writer = nil
	}
}

// Exit codes of the scripts.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// unable ends the script because the case cannot run.
func unable(format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	note("cannot run: %s", message)
	fmt.Fprintln(os.Stderr, "cannot run:", message)
	finish(exitUnable)
}

// finish ends all processes that the script has started, and the script.
func finish(code int) {
	endHosts()
	closeRecord()
	os.Exit(code)
}

// verdict reports whether the rule held, and ends the script.
func verdict(broken bool, format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	note("%s", message)
	fmt.Println(message)
	if broken {
		finish(exitBroken)
	}
	finish(exitHeld)
}
