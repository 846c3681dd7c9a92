package experiment

func Capacity(full bool, seed uint64) []Table { return nil }
