"""Wire protocols as codecs and framers that work on bytes, without sockets."""
