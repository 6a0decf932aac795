"""The machinery of gingerturn; nothing here is a public interface."""
