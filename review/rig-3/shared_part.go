package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// firstCrash is the time of the first crash, after leadTime and a time in which all is served.
	firstCrash = 35 * time.Second
	// crashes is how often the rank crashes at most, crashTime how long it is down each time.
	crashes   = 7
	crashTime = 4500 * time.Millisecond
	// passesToCrash is the number of passes of a new epoch after which the rank crashes again, if it runs a request.
	passesToCrash = 2
	// requestTimeout bounds the wait for such a request.
	requestTimeout = 8 * time.Second
	// settleTime is the time from the last opening of the group to the final fault, wipeTime how long wiped machines are down.
	settleTime = 1500 * time.Millisecond
	wipeTime   = 1300 * time.Millisecond
	// lostDisks is the number of machines that lose their disks, as many as may.
	lostDisks = 2
	// recoverTime is recoverS, judgedTime the time after it in which requests are judged.
	recoverTime = 12 * time.Second
	judgedTime  = 12 * time.Second
	// promptCallers is the number of callers, promptInterval the time between two requests of a caller.
	promptCallers  = 60
	promptInterval = time.Second
	// leastShare is the share of requests by which the rule RECOVER judges.
	leastShare = 0.25
	// promptPatience is the gap after which a caller abandons a stream.
	promptPatience = 2 * time.Second
)

type (
	// prompts holds the requests of the callers.
	prompts struct {
		mutex sync.Mutex
		sent  []promptRecord
	}

	// promptRecord is one request.
	promptRecord struct {
		at       time.Time
		isServed bool
	}
)

// sharedPart lets one rank of a group crash several times in a row, each time with the first requests after the group has formed. Then
// the rank stays up, and a final fault strikes control. It checks the rule RECOVER. ONLY_FINAL=1 leaves the crashes out.
func sharedPart(r *record, withTrouble bool) error {
	c, g, err := startGroup(r)
	if err != nil {
		return err
	}
	defer c.stop()
	p, stop := c.startPrompts()
	time.Sleep(time.Until(r.began.Add(firstCrash)))
	if withTrouble && os.Getenv("ONLY_FINAL") == "" {
		if err := g.crashInARow(); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	struck := time.Now()
	if withTrouble {
		if err := c.configure(promptConfiguration(2), 4*time.Second); err != nil {
			return err
		}
		struck = time.Now()
		if err := c.wipe(c.controls[:lostDisks]); err != nil {
			return err
		}
	}
	back := time.Now()
	time.Sleep(recoverTime + judgedTime)
	stop()
	r.note("ended by themselves: %v", c.crashes())
	return p.judgeRecovery(r, struck, back.Add(recoverTime))
}

// startGroup starts the system and a group of workers.
func startGroup(r *record) (*cluster, *group, error) {
	c, err := newCluster(r, ranksOfGroup, true, false)
	if err != nil {
		return nil, nil, err
	}
	g, err := newGroup(c, r)
	if err == nil {
		err = c.configure(promptConfiguration(1), 20*time.Second)
	}
	if err != nil {
		c.stop()
		return nil, nil, err
	}
	time.Sleep(time.Until(r.began.Add(leadTime)))
	return c, g, nil
}

// startPrompts starts the callers. The returned function stops them.
func (c *cluster) startPrompts() (*prompts, func()) {
	p := &prompts{}
	ended := make(chan struct{})
	var callers sync.WaitGroup
	for n := range promptCallers {
		callers.Go(func() { c.sendPrompts(p, n, ended) })
	}
	return p, func() {
		close(ended)
		callers.Wait()
	}
}

// promptConfiguration is a configuration whose streams may be resumed, unless RESUMABLE=0.
func promptConfiguration(version int) map[string]any {
	configuration := configurationOfLLM(version)
	for _, route := range configuration["routes"].([]any) {
		route.(map[string]any)["resumable"] = os.Getenv("RESUMABLE") != "0"
	}
	return configuration
}

// crashInARow crashes the first rank several times, from the second time on with the first requests that it runs. It ends when no
// request comes.
func (g *group) crashInARow() error {
	bad := g.ranks[0]
	for n := range crashes {
		if n > 0 && !g.awaitRequests(bad) {
			g.record.note("no request reaches rank 0 for %v", requestTimeout)
			return nil
		}
		if err := bad.crash(crashTime); err != nil {
			return err
		}
	}
	return nil
}

// awaitRequests waits, at most for requestTimeout, until the rank runs a request in passesToCrash passes of the epoch. It reports whether
// it does.
func (g *group) awaitRequests(w *rank) bool {
	for until := time.Now().Add(requestTimeout); time.Now().Before(until); {
		g.mutex.Lock()
		isReady := w.running > 0 && g.step >= g.opened+passesToCrash
		g.mutex.Unlock()
		if isReady {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// wipe kills control processes and starts them again with empty disks.
func (c *cluster) wipe(lost []*process) error {
	for _, p := range lost {
		p.signal(syscall.SIGKILL)
		c.record.note("SIGKILL of %s, its disk is lost", p.describe())
	}
	time.Sleep(wipeTime)
	for _, p := range lost {
		p.kill()
		if err := os.RemoveAll(filepath.Join(p.folder, "data")); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	c.record.note("all machines are back")
	return nil
}

// sendPrompts sends one request after the other, at most one in each promptInterval.
func (c *cluster) sendPrompts(p *prompts, n int, stop chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	time.Sleep(time.Duration(n) * promptInterval / promptCallers)
	for i := 0; ; i++ {
		began := time.Now()
		status, isServed := c.sendPrompt(client, n, i)
		p.add(promptRecord{at: began, isServed: isServed})
		c.record.note("caller %d request %d: %d, served %v after %v", n, i, status, isServed, time.Since(began).Round(time.Millisecond))
		select {
		case <-stop:
			return
		case <-time.After(time.Until(began.Add(promptInterval))):
		}
	}
}

// sendPrompt sends a request with a system prompt that all requests share, a part that those of one session share, and its own. It
// reports whether the whole stream came.
func (c *cluster) sendPrompt(client *http.Client, n, i int) (int, bool) {
	text := fmt.Sprintf("prompt %d of caller %d", i, n)
	entry := c.entries[n%len(c.entries)]
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/plan/x", entry.ip, frontPort), strings.NewReader(text))
	if err != nil {
		return 0, false
	}
	id := fmt.Sprintf("%08x%08x", n, i)
	request.Host = "chat.example"
	request.Header.Set("Guavahitch-Attempt-Id", id)
	request.Header.Set("Guavahitch-Deadline-Ms", "8000")
	request.Header.Set("Guavahitch-Model", "m")
	request.Header.Set("Guavahitch-Token-Usage", "1460,80")
	request.Header.Set("Guavahitch-Prompt-Prefix", fmt.Sprintf("5c1e07a2:800,%x:410,%x:250", 0x91bd0000+n, 0xe4000000+n<<16+i))
	request.Header.Set("Authorization", "Token key-1")
	response, err := client.Do(request)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	gap := time.AfterFunc(promptPatience, func() { _ = response.Body.Close() })
	defer gap.Stop()
	var read strings.Builder
	buffer := make([]byte, 4096)
	for {
		count, err := response.Body.Read(buffer)
		read.Write(buffer[:count])
		gap.Reset(promptPatience)
		if err == io.EOF {
			last := fmt.Sprintf("data: %s %d\n\n", id, eventsOfStream)
			return response.StatusCode, response.StatusCode == http.StatusOK && strings.HasSuffix(read.String(), last)
		}
		if err != nil {
			return response.StatusCode, false
		}
	}
}

func (p *prompts) add(sent promptRecord) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sent = append(p.sent, sent)
}

// count returns how many of some requests were sent, and how many of these were served.
func (p *prompts) count(isCounted func(promptRecord) bool) (sent, served int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, q := range p.sent {
		if !isCounted(q) {
			continue
		}
		sent++
		if q.isServed {
			served++
		}
	}
	return sent, served
}

// judgeRecovery is the check of the rule RECOVER.
func (p *prompts) judgeRecovery(r *record, struck, judgedFrom time.Time) error {
	before, servedBefore := p.count(func(q promptRecord) bool { return q.at.Before(struck) })
	after, servedAfter := p.count(func(q promptRecord) bool { return q.at.After(judgedFrom) })
	r.note("before the final fault %d of %d served, from recoverS after it %d of %d", servedBefore, before, servedAfter, after)
	if before == 0 || after == 0 || float64(servedBefore) < leastShare*float64(before) {
		return fmt.Errorf("too few requests were served before the final fault")
	}
	if float64(servedAfter) < leastShare*float64(after) {
		r.breach("RECOVER: %d of %d requests served", servedAfter, after)
	}
	return nil
}
