"""The guildhall: control beside a vault; it hears the backends, tells the booths, and moves leads."""
