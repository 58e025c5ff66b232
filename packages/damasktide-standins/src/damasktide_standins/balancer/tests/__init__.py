"""Tests of the stand-in load balancer."""
