"""The charter: what operators declare, checked and compiled before anything is written."""
