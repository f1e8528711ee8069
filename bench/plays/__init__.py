"""Days of the users' bench, played by several copies of the tree side by side."""
