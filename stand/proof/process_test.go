package proof

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// logTailBytes is how many bytes of each log are printed when a test fails.
const logTailBytes = 3000

// build builds the three programs once for all tests, with the race detector if
// TANAGER_RACE is set.
var build = sync.OnceValues(func() (string, error) {
	root, err := filepath.Abs("../..")
	if err != nil {
		return "", err
	}
	for name, module := range map[string]string{"tanager-entry": "entry", "tanager-stand": "stand", "tanager": "admin"} {
		arguments := []string{"build", "-o", filepath.Join(programs, name)}
		if os.Getenv("TANAGER_RACE") != "" {
			arguments = append(arguments, "-race")
		}
		cmd := exec.Command("go", append(arguments, "./"+module)...)
		cmd.Dir = root
		if output, err := cmd.CombinedOutput(); err != nil {
			return "", fmt.Errorf("building %s: %w\n%s", name, err, output)
		}
	}
	return programs, nil
})

// programs is the directory of the built programs.
var programs string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "tanager-proof-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programs = directory
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// process is a started program with its log file. done is closed when it has ended.
type process struct {
	name    string
	log     string
	cmd     *exec.Cmd
	done    chan struct{}
	program string
	args    []string
}

// startProcess starts a program and kills it at the end of the test. It fails the test
// if the log shows a crash.
func startProcess(t *testing.T, directory, name, program string, args ...string) *process {
	t.Helper()
	p := &process{
		name: name, log: filepath.Join(directory, name+".log"),
		program: filepath.Join(programs, program), args: args,
	}
	p.start(t)
	t.Cleanup(func() {
		// Tests of a planned stop call stop before this.
		p.kill()
		if line := p.crashLine(); line != "" {
			t.Errorf("%s logged %q", p.name, line)
		}
		if t.Failed() {
			t.Logf("log of %s:\n%s", p.name, p.tail())
		}
	})
	return p
}

func (p *process) start(t *testing.T) {
	t.Helper()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(p.program, p.args...)
	p.cmd.Env = childEnvironment()
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The kernel kills the process if the test process is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.done = make(chan struct{})
	go p.run(p.cmd, p.done)
}

// childEnvironment returns the environment of the test process without TANAGER_*
// variables. Tests configure programs by flags, and the programs exit if they find an
// unknown TANAGER_* variable, such as TANAGER_SEED.
func childEnvironment() []string {
	return slices.DeleteFunc(os.Environ(), func(variable string) bool {
		return strings.HasPrefix(variable, "TANAGER_")
	})
}

// run closes done when the process has ended.
func (p *process) run(cmd *exec.Cmd, done chan struct{}) {
	_ = cmd.Wait()
	close(done)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// pause suspends the process with SIGSTOP until resume.
func (p *process) pause() { p.signal(syscall.SIGSTOP) }

// resume continues a paused process.
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// stop sends SIGTERM, waits until the process has ended, and returns its exit code.
func (p *process) stop() int {
	p.signal(syscall.SIGTERM)
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}

// crashLine returns the first line of the log that reports a panic or a data race, or
// "" if there is none. Without it, a crashed process would look like one that the test
// killed.
func (p *process) crashLine() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	for line := range strings.Lines(string(text)) {
		for _, marker := range []string{"panic: ", "fatal error: ", "WARNING: DATA RACE", "http: panic serving"} {
			if strings.Contains(line, marker) {
				return strings.TrimSpace(line)
			}
		}
	}
	return ""
}

// tail returns the last logTailBytes of the log of the process.
func (p *process) tail() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	if len(text) > logTailBytes {
		text = text[len(text)-logTailBytes:]
	}
	return strings.TrimSpace(string(text))
}
