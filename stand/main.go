// Command tanager-stand runs small stand-ins for the platform, workers and targets.
package main

func main() {}
