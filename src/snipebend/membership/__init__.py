"""Announcements, heartbeats, failure suspicion and leaving (pure)."""
