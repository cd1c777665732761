Feature: Traces with a span for each hop
  A kitchen says that its menu sheet came late. An operator must see on which
  hop the time went: the VM that got the packet, the owner, or the upstream.
  The context has to survive the relay between VMs, or each VM would show a
  trace of its own and nobody could put them together.

  Scenario: One trace follows a request over the relay to the upstream
    Given a traced fleet of two entry VMs in two failure domains
    When a traced caller sends requests until one was relayed
    Then its trace has the spans
      | name     | parent   | on       |
      | entry    |          | relay VM |
      | relayed  | entry    | owner VM |
      | upstream | relayed  | owner VM |
    And the upstream was given the context of the span "upstream"

  Scenario: Nothing is traced unless a share is chosen
    Given an untraced fleet of two entry VMs in two failure domains
    When a traced caller sends requests until one was relayed
    Then no span was made and the upstream was given no context
