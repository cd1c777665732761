Feature: The end of a session
  A caller ends its session at the moment at which a last datagram arrives.
  Its receiver was woken already and read from a socket that was closed; the
  program ended with a traceback after it had printed everything.

  Scenario: A datagram that arrives with the end of a session is dropped
    When 60 sessions end, each while a datagram arrives
    Then all sessions that ended so ended quietly
