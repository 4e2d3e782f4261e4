"""Request routing: admission, fair queuing, upstream selection and retries.

Performs no I/O.
"""
