"""The fleet's shared configuration: one base file, an overlay for each site, one generation."""
