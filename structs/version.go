package structs

// Version is the version of all figlb binaries.
const Version = "0.1.0"
