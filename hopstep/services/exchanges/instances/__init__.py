"""State that instances announce or cache, and its effect on sending to them."""
