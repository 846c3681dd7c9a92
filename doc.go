// Package notch holds the core of tamaracknotch, a scheduler for
// latency-critical requests and batch tasks that share hosts.
//
// The package defines the values (routes, pools, hosts, jobs, leases), the
// events and effects, the interfaces of all behaviour that varies, and the one
// reducer over them, [State.Step]. Implementations live in the packages below
// this one. Nothing here reads a clock, does input or output, or encodes a
// message: time and random seeds arrive with each [Event], and every action on
// the outside world leaves as an [Effect].
package notch
