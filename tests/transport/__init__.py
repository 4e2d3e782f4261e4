"""Tests of the network services and clients."""
