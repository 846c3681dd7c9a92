package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The shape and the bounds of the deployment kilnseconds.
var zones = []string{"pnw-kiln", "pnw-dock", "pnw-tent"}

const (
	coreHosts     = 5
	frontendHosts = 6
	heartbeatMs   = 1100
	contactMs     = 3000
	drainMs       = 2000
	holdMaxMs     = 6000
)

// role is a role of the deploy file.
type role struct {
	run []string
	env [][2]string
}

// readRoles reads the commands and the environment of the roles of deploy/system.toml.
func readRoles() (map[string]role, error) {
	f, err := os.Open("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	defer f.Close()
	roles, section := map[string]role{}, ""
	for s := bufio.NewScanner(f); s.Scan(); {
		line := strings.TrimSpace(s.Text())
		if strings.HasPrefix(line, "[") {
			section = strings.Trim(line, "[]")
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		name, isEnv := strings.CutSuffix(strings.TrimPrefix(section, "roles."), ".env")
		if !ok || !strings.HasPrefix(section, "roles.") {
			continue
		}
		key, r := strings.TrimSpace(key), roles[name]
		text, err := strconv.Unquote(strings.TrimSpace(value))
		switch {
		case isEnv && err == nil:
			r.env = append(r.env, [2]string{key, text})
		case key == "run" && err == nil:
			r.run = strings.Fields(text)
		}
		roles[name] = r
	}
	return roles, nil
}

// host is a machine of the system with one daemon.
type host struct {
	name, zone, ip, role string
	cmd                  *exec.Cmd
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	record    *record
	roles     map[string]role
	dir       string // for data folders and logs
	net       string // first two numbers of the addresses
	subnet    int    // third number of the addresses of group 0
	ports     map[string]int
	hosts     []*host
	bootstrap bool

	mu      sync.Mutex
	stopped bool
}

// newCluster chooses addresses, ports and a temporary folder.
func newCluster(rec *record) (*cluster, error) {
	roles, err := readRoles()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: rec, roles: roles, dir: dir, net: fmt.Sprintf("127.%d", 16+rand.IntN(200)), subnet: 3 * rand.IntN(84), ports: map[string]int{}, bootstrap: true}
	for _, use := range []string{"frontend", "readiness", "control", "internal", "minion"} {
		port, err := freePort(c.ip(frontendGroup, 1))
		if err != nil {
			return nil, err
		}
		c.ports[use] = port
	}
	for i := range coreHosts {
		c.hosts = append(c.hosts, &host{name: fmt.Sprintf("core-%d", i+1), zone: zones[i%len(zones)], ip: c.ip(coreGroup, i+1), role: "control"})
	}
	for i := range frontendHosts {
		c.hosts = append(c.hosts, &host{name: fmt.Sprintf("frontend-%d", i+1), zone: zones[i%len(zones)], ip: c.ip(frontendGroup, i+1), role: "entry"})
	}
	return c, nil
}

// The groups of addresses.
const (
	coreGroup = iota
	frontendGroup
	minionGroup
)

func (c *cluster) ip(group, n int) string { return fmt.Sprintf("%s.%d.%d", c.net, c.subnet+group, n) }

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func (c *cluster) address(ip, use string) string {
	return net.JoinHostPort(ip, strconv.Itoa(c.ports[use]))
}

// start starts the daemon of a host with the command and the environment of its role.
func (c *cluster) start(h *host) error {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, c.address(c.ip(coreGroup, i+1), "control"))
	}
	memory := "284"
	if h.role == "control" {
		memory = "280"
	}
	fill := strings.NewReplacer(
		"{{ip}}", h.ip, "{{nodeName}}", h.name, "{{zone}}", h.zone, "{{seeds}}", strings.Join(seeds, ","),
		"{{listen.frontend}}", c.address(h.ip, "frontend"), "{{listen.readiness}}", c.address(h.ip, "readiness"),
		"{{listen.control}}", c.address(h.ip, "control"), "{{internalPorts.0}}", strconv.Itoa(c.ports["internal"]),
		"{{dataDir}}", filepath.Join(c.dir, h.name), "{{bootstrap}}", strconv.FormatBool(c.bootstrap), "{{limits.memoryMb}}", memory,
	)
	r := c.roles[h.role]
	if len(r.run) == 0 {
		return errors.New("the deploy file has no command for the role " + h.role)
	}
	h.cmd = exec.Command("./"+r.run[0], r.run[1:]...)
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.dir, "LANG=C"}
	for _, e := range r.env {
		h.cmd.Env = append(h.cmd.Env, e[0]+"="+fill.Replace(e[1]))
	}
	log, err := os.OpenFile(filepath.Join(c.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	h.cmd.Stdout, h.cmd.Stderr = log, log
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return errors.New("the case is over")
	}
	return h.cmd.Start()
}

// startAll starts every daemon.
func (c *cluster) startAll() error {
	for _, h := range c.hosts {
		if err := c.start(h); err != nil {
			return err
		}
	}
	c.bootstrap = false
	return nil
}

// addresses returns the addresses of the hosts of a role.
func (c *cluster) addresses(role, use string) []string {
	var out []string
	for _, h := range c.hosts {
		if h.role == role {
			out = append(out, c.address(h.ip, use))
		}
	}
	return out
}

// stop ends all processes. With KEEP_LOGS the logs of the daemons stay.
func (c *cluster) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return
	}
	c.stopped = true
	for _, h := range c.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			h.cmd.Process.Kill()
			h.cmd.Wait()
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs:", c.dir)
	}
}

// ended returns the names of the daemons that have ended by themselves.
func (c *cluster) ended() []string {
	var out []string
	for _, h := range c.hosts {
		if h.cmd.Process.Signal(syscall.Signal(0)) != nil {
			out = append(out, h.name)
		}
	}
	return out
}

// record is the list of what was sent, answered and run.
type record struct {
	file    *os.File
	beganAt time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, beganAt: time.Now()}, err
}

// add writes a line with the time since the start in seconds.
func (r *record) add(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.beganAt).Seconds(), fmt.Sprintf(format, args...))
}
