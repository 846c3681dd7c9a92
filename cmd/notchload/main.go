// Notchload is the load and experiment tool.
package main

func main() {}
