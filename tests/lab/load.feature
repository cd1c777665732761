Feature: A burst of load from the command line

  Scenario: Callers with and without admission stand side by side
    When a short burst is played with a plot
    Then a line for each variant tells of feeds, offers and upstreams
    And the plot is a picture
