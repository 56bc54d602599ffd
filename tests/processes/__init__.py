"""Tests of real processes on loopback, with time limits but without assertions on timing."""
