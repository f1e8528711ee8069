"""Roll-outs of new versions, and the trial of each."""
