// Package guardedsource puts the rules of package listguard between discovery and those who use its lists: calls wait
// for their turn, and a full list that suddenly lacks many endpoints is not believed at once. File is the settings
// file, deploy/comeback.toml.
package guardedsource
