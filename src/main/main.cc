// Entry point of the azuregw binary.

int main() { return 0; }
