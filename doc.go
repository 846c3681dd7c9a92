// Package notch is the core of tamaracknotch, a scheduler for
// latency-critical requests and batch tasks that share hosts.
//
// A daemon is one process of the system. Some daemons are control replicas, which
// keep the replicated log; the leader among them allocates slots, places tasks and
// answers queries. A daemon in its role towards callers is an entry: it receives
// requests and sends them to backend servers, within the slots that the leader
// allocates to it. The traffic of an entry is divided into lanes, goroutines that
// each own the state of some pools. Batch tasks belong to jobs, which workers run
// and report by heartbeats, or to workflows, which agents run by order of the
// leader.
//
// The package defines the values (routes, pools, hosts, jobs, leases), the
// events and effects, the interfaces of all behaviour that varies, and the one
// reducer over them, [Step]. Implementations live in the packages below
// this one. Nothing here reads a clock, does input or output, or encodes a
// message: time and random seeds arrive with each [Event], and every action on
// the outside world leaves as an [Effect].
package notch
