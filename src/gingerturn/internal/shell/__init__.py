"""The shell: turns sockets, timers and the log into events, and effects into I/O."""
