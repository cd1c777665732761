Feature: Traces with a span for each hop
  For a slow request an operator must see which hop took the time: the VM that
  received it, the owner, or the upstream. The trace context must be propagated
  between VMs, or each of them would start a trace of its own.

  Scenario: One trace follows a request over the relay to the upstream
    Given a traced fleet of two entry VMs in two failure domains
    When a traced caller sends requests until one was relayed
    Then its trace has the spans
      | name     | parent   | on       |
      | entry    |          | relay VM |
      | relayed  | entry    | owner VM |
      | upstream | relayed  | owner VM |
    And the upstream was given the context of the span "upstream"

  Scenario: Nothing is traced by default
    Given an untraced fleet of two entry VMs in two failure domains
    When a traced caller sends requests until one was relayed
    Then no span was made and the upstream was given no context
