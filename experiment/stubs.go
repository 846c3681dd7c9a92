package experiment

func Control(full bool, seed uint64) []Table  { return nil }
func Capacity(full bool, seed uint64) []Table { return nil }
