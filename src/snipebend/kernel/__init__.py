"""The micro-kernel: named services, mailboxes, supervised tasks, a clock."""
