// Package bodies decides which store hosts a gateway sends the bodies of turns to and reads them from. It
// reaches the store hosts through an interface. It is designed for some hundred bodies a second at one
// gateway and for views of some hundred store hosts.
package bodies
