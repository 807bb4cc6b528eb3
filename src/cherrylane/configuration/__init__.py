"""Fleet configuration: a base document and one overlay per site, versioned as generations."""
