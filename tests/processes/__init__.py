"""Tests of real processes on loopback; bounded, without timing asserts."""
