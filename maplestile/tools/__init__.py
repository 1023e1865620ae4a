"""The command line and its tools: explorer, models, fault relay, load generator and trace reader."""
