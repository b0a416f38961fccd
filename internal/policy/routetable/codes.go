package routetable

// Codes of this package's errors in messages between processes. A code stays as it is when its type gets another name.

// Code is the name of the error in messages between processes.
func (InvalidRulesError) Code() string { return "policyroutes.BadRoutes" }

// Code is the name of the error in messages between processes.
func (MissingServicesError) Code() string { return "policyroutes.MissingServices" }
