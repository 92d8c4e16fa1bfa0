// Command kumquatshelfd is the daemon that runs beside upstreams.
package main

func main() {}
