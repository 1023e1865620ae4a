"""The command line and its tools: explorer, models, fault relay, load generator, trace reader."""
