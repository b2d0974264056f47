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

// logTail is how much of each log is printed when a test fails.
const logTail = 3000

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

// process is one started program.
type process struct {
	name    string
	log     string
	cmd     *exec.Cmd
	done    chan struct{}
	program string
	args    []string
}

// startProcess starts a program that is stopped at the end of the test.
func startProcess(t *testing.T, directory, name, program string, args ...string) *process {
	t.Helper()
	p := &process{
		name: name, log: filepath.Join(directory, name+".log"),
		program: filepath.Join(programs, program), args: args,
	}
	p.start(t)
	t.Cleanup(func() {
		// A test that is about planned stops calls stop itself.
		p.kill()
		if line := p.crash(); line != "" {
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
	p.cmd.Env = environment()
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// A test that is itself killed leaves no process behind.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.done = make(chan struct{})
	go p.run(p.cmd, p.done)
}

// environment is this process's own without the settings of the product, which
// a test gives by flags. A daemon ends at a variable that it does not know, such
// as the test's own TANAGER_SEED.
func environment() []string {
	return slices.DeleteFunc(os.Environ(), func(variable string) bool {
		return strings.HasPrefix(variable, "TANAGER_")
	})
}

// run waits for the process, so that done tells when it has ended.
func (p *process) run(cmd *exec.Cmd, done chan struct{}) {
	_ = cmd.Wait()
	close(done)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process without notice.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// pause stops the process in its tracks until resume.
func (p *process) pause()  { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// stop asks the process to stop and returns its exit code.
func (p *process) stop() int {
	p.signal(syscall.SIGTERM)
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}

// crash returns the line that tells of a panic or a data race, if there was one.
// A process that died of itself would else look like one that the test killed.
func (p *process) crash() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	for line := range strings.Lines(string(text)) {
		for _, sign := range []string{"panic: ", "fatal error: ", "WARNING: DATA RACE", "http: panic serving"} {
			if strings.Contains(line, sign) {
				return strings.TrimSpace(line)
			}
		}
	}
	return ""
}

// tail returns the end of the process's log.
func (p *process) tail() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	if len(text) > logTail {
		text = text[len(text)-logTail:]
	}
	return strings.TrimSpace(string(text))
}
