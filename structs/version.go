package structs

// Version is the version of all binaries of this tree.
const Version = "0.1.0"
