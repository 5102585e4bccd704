package command_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavahitch.example/guavahitch/command"
	"guavahitch.example/guavahitch/fake"
	"guavahitch.example/guavahitch/keys"
	"guavahitch.example/guavahitch/settings"
)

const (
	// argumentsVariable makes the test binary run as the program. Its value holds the arguments, one per line.
	argumentsVariable = "GUAVAHITCH_TEST_ARGUMENTS"
	// eventTimeout bounds every wait for an expected event.
	eventTimeout = 30 * time.Second
	// keyedCallers is the number of concurrent callers, keyedCalls the number of calls that each sends.
	keyedCallers = 6
	keyedCalls   = 15

	systemInventory = `{
  "Models": [{"Name": "m"}],
  "Services": [{"Name": "ledger", "Routes": [{"Path": "/ledger/entries", "Method": "POST"}]}],
  "Upstreams": [
    {"Name": "up-1", "FailureDomain": "levis", "Services": ["m"]},
    {"Name": "ledger-1", "FailureDomain": "levis", "Services": ["ledger"], "AnswersReference": true},
  ],
  "Organisations": [{"Name": "north"}],
}`
)

func TestMain(m *testing.M) {
	if arguments, isProgram := os.LookupEnv(argumentsVariable); isProgram {
		os.Exit(command.Run(strings.Split(arguments, "\n"), os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// processSystem is a system of separate processes: three entries that are also control replicas, and two sidecars.
type processSystem struct {
	t         *testing.T
	folder    string
	authority *keys.Authority
	replicas  []settings.Replica
	callers   []string
	operators []string
	running   map[string]*exec.Cmd
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := fake.FreeAddress()
	require.NoError(t, err)
	return address
}

func newProcessSystem(t *testing.T) *processSystem {
	p := &processSystem{t: t, folder: t.TempDir(), running: map[string]*exec.Cmd{}}
	authority, err := keys.NewAuthority(p.folder)
	require.NoError(t, err)
	p.authority = authority
	require.NoError(t, os.WriteFile(p.path("token"), []byte("secret\n"), 0o600))
	for n := range 3 {
		p.replicas = append(p.replicas, settings.Replica{Name: fmt.Sprintf("entry-%d", n+1), Address: freeAddress(t)})
		p.callers = append(p.callers, freeAddress(t))
		p.operators = append(p.operators, freeAddress(t))
	}
	t.Cleanup(p.stop)
	return p
}

func (p *processSystem) path(name string) string { return filepath.Join(p.folder, name) }

func (p *processSystem) write(name string, value any) string {
	text, err := json.MarshalIndent(value, "", "  ")
	require.NoError(p.t, err)
	require.NoError(p.t, os.WriteFile(p.path(name), text, 0o600))
	return p.path(name)
}

// program returns a command that runs the program with the arguments. The command is not started.
func (p *processSystem) program(arguments ...string) *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), argumentsVariable+"="+strings.Join(arguments, "\n"))
	return c
}

func (p *processSystem) start(verb string, s map[string]any) {
	name := s["Name"].(string)
	files, err := p.authority.Issue(name)
	require.NoError(p.t, err)
	s["Keys"], s["Replicas"] = files, p.replicas
	c := p.program(verb, "--settings", p.write(name+".json", s))
	log, err := os.Create(p.path(name + ".log"))
	require.NoError(p.t, err)
	c.Stdout, c.Stderr = log, log
	require.NoError(p.t, c.Start())
	p.running[name] = c
}

func (p *processSystem) startEntry(n int) {
	p.start("entry", map[string]any{
		"Name": p.replicas[n].Name, "Listen": p.replicas[n].Address, "FailureDomain": "levis",
		"Entry": map[string]any{"Listen": p.callers[n]},
		"Control": map[string]any{
			"Folder": p.path(p.replicas[n].Name), "Operators": p.operators[n], "TokenFile": p.path("token"),
		},
	})
}

func (p *processSystem) startSidecar(name, engine, kind, service string) {
	p.start("sidecar", map[string]any{
		"Name": name, "Listen": freeAddress(p.t), "FailureDomain": "levis",
		"Sidecar": map[string]any{"Engine": engine, "Kind": kind, "Services": []string{service}, "Queued": 16},
	})
}

// kill ends a process with SIGKILL, which has the effect of a crash of its instance.
func (p *processSystem) kill(name string) {
	require.NoError(p.t, p.running[name].Process.Signal(syscall.SIGKILL))
	_ = p.running[name].Wait()
}

// stop ends all processes with SIGTERM. The sidecars end first, because they deregister from control.
func (p *processSystem) stop() {
	isReplica := map[string]bool{}
	for _, replica := range p.replicas {
		isReplica[replica.Name] = true
	}
	p.stopWhere(func(name string) bool { return !isReplica[name] })
	p.stopWhere(func(name string) bool { return isReplica[name] })
}

func (p *processSystem) stopWhere(isSelected func(name string) bool) {
	var exits sync.WaitGroup
	for name, c := range p.running {
		if !isSelected(name) {
			continue
		}
		exits.Go(func() {
			_ = c.Process.Signal(syscall.SIGTERM)
			killTimer := time.AfterFunc(eventTimeout, func() { _ = c.Process.Kill() })
			defer killTimer.Stop()
			_ = c.Wait()
		})
	}
	exits.Wait()
}

func (p *processSystem) apply() {
	require.NoError(p.t, os.WriteFile(p.path("inventory.json"), []byte(systemInventory), 0o600))
	operator := p.write("operator.json", map[string]any{
		"Addresses": p.operators, "TokenFile": p.path("token"), "Authority": p.path("authority.pem"),
	})
	require.Eventually(p.t, func() bool {
		return p.program("apply", "--settings", operator, "--change", "first", "--expect", "0", p.path("inventory.json")).Run() == nil
	}, eventTimeout, 100*time.Millisecond)
}

func (p *processSystem) post(entry int, path, key, body string) (int, string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.callers[entry]+path, strings.NewReader(body))
	require.NoError(p.t, err)
	request.Header.Set("Guavahitch-Organisation", "north")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// sendUntilAnswered sends a call with an idempotency key to one entry after the other until one answers it.
func (p *processSystem) sendUntilAnswered(key string) string {
	return p.sendUntil(key, func(status int, _ string) bool { return status == http.StatusOK })
}

// sendUntil sends a call with an idempotency key until isFinal accepts the response, and returns its text.
func (p *processSystem) sendUntil(key string, isFinal func(status int, text string) bool) string {
	var finalText, last string
	require.Eventually(p.t, func() bool {
		for entry := range p.callers {
			status, text := p.post(entry, "/ledger/entries", key, `{"hours":1}`)
			last = fmt.Sprint(status, " ", text)
			if isFinal(status, text) {
				finalText = text
				return true
			}
		}
		return false
	}, eventTimeout, 20*time.Millisecond, "%s: %s", key, last)
	return finalText
}

// runFaultUnderLoad runs the fault while concurrent callers send their calls, and returns when all calls have ended.
func (p *processSystem) runFaultUnderLoad(batch string, isFinal func(int, string) bool, fault func()) {
	var callers sync.WaitGroup
	for n := range keyedCallers {
		callers.Go(func() {
			for i := range keyedCalls {
				p.sendUntil(fmt.Sprintf("%s-%d-%d", batch, n, i), isFinal)
			}
		})
	}
	fault()
	callers.Wait()
}

func isAnswered(status int, _ string) bool { return status == http.StatusOK }

// isAnsweredOrReportedLost accepts an answer, and the refusals that a caller gets when the sidecar was killed before it
// passed the answer on.
func isAnsweredOrReportedLost(status int, text string) bool {
	return isAnswered(status, text) || strings.Contains(text, `"reason":"answer-lost"`) ||
		strings.Contains(text, `"outcome":"Unknown","reason":"unsettled"`)
}

// TestProcessesSurviveKills runs separate processes and kills each entry in turn, including the leader of control,
// while callers send calls that must not be repeated. Every call is answered. Then it kills a sidecar, which loses
// answers; the callers get a refusal that says that the answer is lost or the outcome unknown. No call runs twice.
func TestProcessesSurviveKills(t *testing.T) {
	engine := fake.NewEngine(fake.EngineSettings{Name: "up-1", Model: "m", Slots: 8, Step: time.Millisecond})
	require.NoError(t, engine.Start("127.0.0.1:0"))
	defer engine.Stop()
	ledger := fake.NewService(fake.ServiceSettings{Name: "ledger", Delay: 2 * time.Millisecond})
	require.NoError(t, ledger.Start("127.0.0.1:0"))
	defer ledger.Stop()

	p := newProcessSystem(t)
	for n := range 3 {
		p.startEntry(n)
	}
	p.startSidecar("up-1", engine.Address(), "model", "m")
	p.startSidecar("ledger-1", ledger.Address(), "service", "ledger")
	p.apply()
	require.Eventually(t, func() bool {
		status, _ := p.post(0, "/v1/chat/completions", "", `{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":2}`)
		return status == http.StatusOK
	}, eventTimeout, 50*time.Millisecond)
	first := p.sendUntilAnswered("first")

	p.runFaultUnderLoad("entries", isAnswered, func() {
		for n := range 3 {
			p.kill(p.replicas[n].Name)
			p.startEntry(n)
			p.sendUntilAnswered(fmt.Sprintf("after-%d", n))
		}
	})
	p.runFaultUnderLoad("sidecar", isAnsweredOrReportedLost, func() {
		p.kill("ledger-1")
		p.startSidecar("ledger-1", ledger.Address(), "service", "ledger")
	})
	require.Equal(t, first, p.sendUntilAnswered("first"), "the first answer must survive the crash of every replica")
	for key, runs := range ledger.AllRuns() {
		require.Equal(t, 1, runs, key)
	}
}
